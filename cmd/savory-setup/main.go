// Command savory-setup generates a configuration from a questionnaire, and tokens and a development certificate
// authority.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/setup"
)

func main() {
	os.Exit(setup.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
