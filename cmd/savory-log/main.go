// Command savory-log is a stand-in for the platform's log service.
package main

import (
	"os"

	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/logservice"
)

func main() {
	o := logservice.DefaultOptions()
	os.Exit(standin.Main("savory-log", &o, func() (standin.Process, error) { return logservice.Start(o) }))
}
