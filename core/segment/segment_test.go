package segment

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestBufferGrowsWithTheBytesThatArrive(t *testing.T) {
	want := []byte(strings.Repeat("0123456789", 20_000))
	for name, r := range map[string]io.Reader{"at once": bytes.NewReader(want), "halves": iotest.HalfReader(bytes.NewReader(want)), "bytes": iotest.OneByteReader(bytes.NewReader(want))} {
		var b Buffer
		var reserved int64
		for {
			n, err := b.Fill(r, 1<<20, func(n int64) error { reserved += n; return nil })
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil || n == 0 {
				t.Fatalf("%s: %d bytes, %v", name, n, err)
			}
			if b.Held() > int64(2*b.Len()+firstBytes) {
				t.Fatalf("%s: %d bytes held for %d", name, b.Held(), b.Len())
			}
		}
		if !bytes.Equal(b.AppendTo(nil), want) || b.Held() != reserved {
			t.Errorf("%s: other bytes, or %d held and %d reserved", name, b.Held(), reserved)
		}
	}
}

func TestBufferHoldsNoMoreThanItsLimit(t *testing.T) {
	var b Buffer
	if _, err := b.Fill(strings.NewReader(strings.Repeat("x", 700)), 700, func(int64) error { return nil }); err != nil || b.Held() != 700 {
		t.Errorf("%d bytes held for 700, %v", b.Held(), err)
	}
	denied := errors.New("denied")
	if _, err := b.Fill(strings.NewReader("x"), 1, func(int64) error { return denied }); !errors.Is(err, denied) || b.Len() != 700 {
		t.Errorf("%d bytes, %v", b.Len(), err)
	}
}
