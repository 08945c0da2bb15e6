package platform

import (
	"context"
	"testing"

	"mimosaarch.example/core/platformapi"
)

// scriptedStore is a Store that follows a script for each Put.
type scriptedStore struct {
	object platformapi.Object
	script []putStep
}

// putStep says what happens to one Put.
type putStep struct {
	// applies reports whether the write reaches the store, and lost whether its
	// response is lost.
	applies, lost bool
	// then runs after the write, before the object is read back.
	then func(s *scriptedStore)
}

func (s *scriptedStore) Get(context.Context, string) (platformapi.Object, error) {
	if s.object.Version == 0 {
		return platformapi.Object{}, &NotFoundError{}
	}
	return s.object, nil
}

func (s *scriptedStore) Put(_ context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	if len(s.script) == 0 {
		return platformapi.Object{}, &UnavailableError{Kind: KindPut}
	}
	now := s.script[0]
	s.script = s.script[1:]
	refused := s.object.Version != ifMatch
	if now.applies && !refused {
		s.object = platformapi.Object{Key: key, Version: s.object.Version + 1, Value: value}
	}
	if now.then != nil {
		now.then(s)
	}
	switch {
	case now.lost:
		return platformapi.Object{}, &UnavailableError{Kind: KindPut, MayHaveTakenEffect: true}
	case refused:
		return platformapi.Object{}, &ConflictError{Current: s.object}
	}
	return s.object, nil
}

// overwrite stores a newer object of another writer.
func overwrite(s *scriptedStore) {
	s.object = platformapi.Object{Version: s.object.Version + 1, Value: []byte("other")}
}

func TestPutAndVerifyOutcomes(t *testing.T) {
	responseLost := putStep{applies: true, lost: true}
	requestLost := putStep{lost: true}
	cases := map[string]struct {
		start  int64
		script []putStep
		want   PutOutcome
		value  string
	}{
		"answered":                        {3, []putStep{{applies: true}}, PutWritten, "mine"},
		"conflict":                        {4, []putStep{{applies: true}}, PutConflict, "old"},
		"never left":                      {3, nil, PutFailed, ""},
		"answer lost":                     {3, []putStep{responseLost}, PutWritten, "mine"},
		"request lost, sent again":        {3, []putStep{requestLost, {applies: true}}, PutWritten, "mine"},
		"request lost, another's stands":  {3, []putStep{{lost: true, then: overwrite}}, PutSuperseded, "other"},
		"answer lost, then overwritten":   {3, []putStep{{applies: true, lost: true, then: overwrite}}, PutSuperseded, "other"},
		"request late, overtakes its own": {3, []putStep{requestLost, {applies: true, lost: true}}, PutWritten, "mine"},
		"never answered":                  {3, []putStep{requestLost, requestLost, requestLost}, PutUnknown, ""},
		"lost, then out of reach":         {3, []putStep{requestLost}, PutUnknown, ""},
	}
	for name, tc := range cases {
		store := &scriptedStore{object: platformapi.Object{Version: tc.start, Value: []byte("old")}, script: tc.script}
		isMine := func(value []byte) bool { return string(value) == "mine" }
		got := PutAndVerify(context.Background(), store, "k", []byte("mine"), 3, isMine)
		if got.Outcome != tc.want || string(got.Object.Value) != tc.value {
			t.Errorf("%s: got %v %q, want %v %q", name, got.Outcome, got.Object.Value, tc.want, tc.value)
		}
	}
}
