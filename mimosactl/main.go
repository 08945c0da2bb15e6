// Command mimosactl is the command-line tool for operating mimosaarch.
package main

import (
	"os"

	"mimosaarch.example/mimosactl/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
