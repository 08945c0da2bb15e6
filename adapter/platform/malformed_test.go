package platform

import (
	"fmt"
	"testing"

	"mimosaarch.example/core/httphead/headtest"
)

// Guards against a write that counts as done, as rejected or as not sent, or is sent again,
// although the head of its response is malformed.
func TestWriteWhoseResponseHasAMalformedHeadMayHaveTakenEffect(t *testing.T) {
	for name, response := range headtest.Malformed(fmt.Sprintf("Content-Length: %d\r\n", len(objectBody)), objectBody) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, seen := serveCut(t, response, false)
			if _, err := c.Put(t.Context(), "config/profile/a b", []byte("x"), 6); !MayHaveTakenEffect(err) {
				t.Errorf("error %v", err)
			}
			if <-seen; len(seen) > 0 {
				t.Error("sent again")
			}
		})
	}
}
