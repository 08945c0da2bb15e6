// Package platform is a stand-in for the platform's object API: objects with
// versions, conditional updates, watches and the list of VMs, with outages,
// slowness and lost answers on demand.
package platform

// Config sets up one stand-in.
type Config struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, when set, receives the address listened on (Main only).
	AddrFile string `long:"addr-file" description:"file to write the address to"`
}
