package configorder

import (
	"mimosaarch.example/core/platformapi"
)

// ApplyList applies the platform's complete list of configuration objects. An
// object that the Store holds at a version below the list's revision, but that is
// not listed, has been deleted by that revision. ApplyList returns whether the
// active object of any key changed, and the errors of Apply.
func (s *Store) ApplyList(list platformapi.ListReply) (changed bool, errs []error) {
	listed := make(map[string]bool, len(list.Objects))
	for _, object := range list.Objects {
		listed[object.Key] = true
		// The tombstone floor doesn't apply: a listed object exists, so it wasn't
		// deleted after its version.
		one, err := s.apply(object, 0)
		changed = changed || one
		if err != nil {
			errs = append(errs, err)
		}
	}
	for _, key := range s.keys() {
		e := s.entries[key]
		if listed[key] || e.newest.Deleted || e.newest.Version >= list.Revision {
			continue
		}
		one, err := s.Apply(platformapi.Object{Key: key, Version: list.Revision, Deleted: true})
		changed = changed || one
		if err != nil {
			errs = append(errs, err)
		}
	}
	return changed, errs
}
