package engine

import (
	"os"

	"mimosaarch.example/standin/internal/cmd"
)

// ExitCrash is the exit code of the engine command after a crash by Control.CrashOn.
const ExitCrash = 3

// Main runs an engine as a command until SIGTERM or SIGINT and returns the exit code.
// args are the arguments after the program name. A request that crashes the engine
// exits the process with ExitCrash.
func Main(args []string) int {
	var cfg Config
	start := func() (*Engine, error) {
		cfg.OnCrash = func() { os.Exit(ExitCrash) }
		return Start(cfg)
	}
	files := func(s *Engine) []cmd.AddrFile {
		return []cmd.AddrFile{{Name: cfg.AddrFile, Addr: s.Addr()}}
	}
	return cmd.Main("engine", &cfg, args, start, files)
}
