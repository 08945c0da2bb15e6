package platform

// Kind is a kind of call.
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

// kindNames is indexed by Kind.
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
