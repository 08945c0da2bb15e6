package platform

// Kind names a kind of call. The platform counts each call.
type Kind int

// Kinds of calls.
const (
	KindGet Kind = iota
	KindPut
	KindDelete
	KindList
	KindWatch
	KindVMs
)

// kindNames are indexed by Kind.
var kindNames = [...]string{"get", "put", "delete", "list", "watch", "vms"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// writes reports whether calls of this kind change objects.
func (k Kind) writes() bool { return k == KindPut || k == KindDelete }
