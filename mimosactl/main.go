// Command mimosactl is the operators' tool of mimosaarch.
package main

import (
	"os"

	"mimosaarch.example/mimosactl/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
