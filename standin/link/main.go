package link

import "mimosaarch.example/standin/internal/cmd"

// Main runs a relay as a command until SIGTERM; args are those after the
// program's name.
func Main(args []string) int {
	const name = "link"
	var cfg Config
	if code, ok := cmd.Parse(name, &cfg, args); !ok {
		return code
	}
	r, err := Start(cfg)
	if err != nil {
		return cmd.Fail(name, err)
	}
	if err := cmd.WriteAddr(cfg.AddrFile, r.Addr()); err != nil {
		r.Close()
		return cmd.Fail(name, err)
	}
	if err := cmd.WriteAddr(cfg.ControlFile, r.ControlAddr()); err != nil {
		r.Close()
		return cmd.Fail(name, err)
	}
	return cmd.Run(r.Addr(), r.Close)
}
