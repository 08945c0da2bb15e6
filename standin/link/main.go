package link

import "mimosaarch.example/standin/internal/cmd"

// Main runs a relay as a command until SIGTERM or SIGINT and returns the exit code.
// args are the arguments after the program name.
func Main(args []string) int {
	var cfg Config
	start := func() (*Relay, error) { return Start(cfg) }
	files := func(s *Relay) []cmd.AddrFile {
		return []cmd.AddrFile{
			{Name: cfg.AddrFile, Addr: s.Addr()},
			{Name: cfg.ControlFile, Addr: s.ControlAddr()},
		}
	}
	return cmd.Main("link", &cfg, args, start, files)
}
