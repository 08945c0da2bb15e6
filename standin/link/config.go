// Package link is a stand-in for a network path: a TCP relay whose control API can
// reset or refuse connections, delay and rate-limit bytes, or silently hold them back.
package link

// Config configures one relay.
type Config struct {
	// Listen is the address that accepts the relayed connections; empty means
	// 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// Target is the address that connections are relayed to.
	Target string `long:"target" description:"address to relay to" required:"true"`
	// Control is the listen address of the control API; empty means 127.0.0.1:0.
	Control string `long:"control" description:"address of the control calls"`
	// AddrFile, if set, is the file that Main writes the listen address to.
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ControlFile, if set, is the file that Main writes the address of the control API
	// to.
	ControlFile string `long:"control-file" description:"file to write the control address to"`
}
