package platform

import (
	"context"
	"testing"

	"mimosaarch.example/core/platformapi"
)

// scriptedStore is a Store whose puts lose their answers as a script says.
type scriptedStore struct {
	object platformapi.Object
	script []step
}

// step is the fate of one Put.
type step struct {
	// applies tells whether the write reaches the store; lost whether its
	// answer is lost.
	applies, lost bool
	// then runs after the write, before it is read back.
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

// other overwrites the object with another writer's.
func other(s *scriptedStore) {
	s.object = platformapi.Object{Version: s.object.Version + 1, Value: []byte("other")}
}

func TestPutKnownSettles(t *testing.T) {
	landed := step{applies: true, lost: true}
	vanished := step{lost: true}
	cases := map[string]struct {
		start  int64
		script []step
		want   PutOutcome
		value  string
	}{
		"answered":                        {3, []step{{applies: true}}, PutWritten, "mine"},
		"conflict":                        {4, []step{{applies: true}}, PutConflict, "old"},
		"never left":                      {3, nil, PutFailed, ""},
		"answer lost":                     {3, []step{landed}, PutWritten, "mine"},
		"request lost, sent again":        {3, []step{vanished, {applies: true}}, PutWritten, "mine"},
		"request lost, another's stands":  {3, []step{{lost: true, then: other}}, PutSuperseded, "other"},
		"answer lost, then overwritten":   {3, []step{{applies: true, lost: true, then: other}}, PutSuperseded, "other"},
		"request late, overtakes its own": {3, []step{vanished, {applies: true, lost: true}}, PutWritten, "mine"},
		"never answered":                  {3, []step{vanished, vanished, vanished}, PutUnknown, ""},
		"lost, then out of reach":         {3, []step{vanished}, PutUnknown, ""},
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
