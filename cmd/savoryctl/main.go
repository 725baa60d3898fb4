// Command savoryctl is the operators' command-line tool.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.ProcessEnv()))
}
