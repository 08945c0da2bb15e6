// Package plain is a stand-in for a plain service: it books slots, counts what
// it executed, and refuses, drops or hangs calls on demand.
package plain

// Config sets up one stand-in.
type Config struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, when set, receives the address listened on (Main only).
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ID names the upstream in its answers; empty means plain.
	ID string `long:"id" description:"upstream id"`
}
