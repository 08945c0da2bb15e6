// Package link is a stand-in for a network path: a TCP relay that can be cut,
// slowed, or silenced for old connections or for all.
package link

// Config sets up one relay.
type Config struct {
	// Listen is the address relayed from; empty means 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// Target is the address relayed to.
	Target string `long:"target" description:"address to relay to" required:"true"`
	// Control is the address of the control calls; empty means 127.0.0.1:0.
	Control string `long:"control" description:"address of the control calls"`
	// AddrFile, when set, receives the address listened on (Main only).
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ControlFile, when set, receives the address of the control calls (Main only).
	ControlFile string `long:"control-file" description:"file to write the control address to"`
}
