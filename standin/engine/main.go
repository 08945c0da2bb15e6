package engine

import (
	"os"

	"mimosaarch.example/standin/internal/cmd"
)

// ExitCrash is the exit code of a command whose engine crashed.
const ExitCrash = 3

// Main runs an engine as a command until SIGTERM; args are those after the
// program's name. A request that crashes the engine exits the process with
// ExitCrash.
func Main(args []string) int {
	const name = "engine"
	var cfg Config
	if code, ok := cmd.Parse(name, &cfg, args); !ok {
		return code
	}
	cfg.OnCrash = func() { os.Exit(ExitCrash) }
	e, err := Start(cfg)
	if err != nil {
		return cmd.Fail(name, err)
	}
	if err := cmd.WriteAddr(cfg.AddrFile, e.Addr()); err != nil {
		e.Close()
		return cmd.Fail(name, err)
	}
	return cmd.Run(e.Addr(), e.Close)
}
