// Command mimosad runs the mimosaarch node of one entry VM.
package main

import (
	"os"

	"mimosaarch.example/mimosad/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
