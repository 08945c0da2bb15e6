package configorder

import (
	"mimosaarch.example/core/platformapi"
)

// ApplyList takes the platform's whole list of configuration objects. An
// object that is held at a version below the list's revision, but is not in
// the list, was deleted by that revision. It reports whether another object is now in force
// for any key, and gives the errors of Apply.
func (s *Store) ApplyList(list platformapi.ListReply) (changed bool, errs []error) {
	listed := make(map[string]bool, len(list.Objects))
	for _, object := range list.Objects {
		listed[object.Key] = true
		// A listed object exists, so that it was not deleted after its version.
		one, err := s.apply(object, 0)
		changed = changed || one
		if err != nil {
			errs = append(errs, err)
		}
	}
	for _, key := range s.keys() {
		e := s.entries[key]
		if listed[key] || e.seen.Deleted || e.seen.Version >= list.Revision {
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
