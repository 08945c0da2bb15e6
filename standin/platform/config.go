// Package platform is a stand-in for the platform. It implements the protocol of
// package platformapi in memory: versioned objects, conditional writes, watches and
// the list of VMs. Its control API causes outages, delays, hanging calls and lost
// responses.
package platform

// Config configures one stand-in.
type Config struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, if set, is the file that Main writes the listen address to.
	AddrFile string `long:"addr-file" description:"file to write the address to"`
}
