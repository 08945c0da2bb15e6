// Package plain is a stand-in for a plain upstream, an HTTP service that is not a model
// engine. It accepts bookings, counts how often it executed each call, and its control
// API makes it refuse, drop, hang or delay calls.
package plain

// Config configures one stand-in.
type Config struct {
	// Listen is the address to listen on; empty means 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, if set, is the file that Main writes the listen address to.
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ID identifies the upstream in its responses; empty means "plain".
	ID string `long:"id" description:"upstream id"`
}
