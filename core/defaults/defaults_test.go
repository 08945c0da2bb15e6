package defaults

import "testing"

func TestPositive(t *testing.T) {
	for v, want := range map[int]int{-1: 7, 0: 7, 1: 1, 9: 9} {
		if got := Positive(v, 7); got != want {
			t.Errorf("Positive(%d, 7) = %d, want %d", v, got, want)
		}
	}
}
