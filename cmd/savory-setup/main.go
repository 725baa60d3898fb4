// Command savory-setup turns a questionnaire into a configuration and makes tokens and a development certificate
// authority.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/setup"
)

func main() {
	os.Exit(setup.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
