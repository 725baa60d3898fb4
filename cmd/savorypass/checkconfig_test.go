package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/daemon"
)

const configText = `{"version":7,"routes":[{"name":"stock","host":"h.example","prefix":"/a/","timeout_ms":1500,"slo_ms":60,
"prio":0,"service":"s","attempts":2,"stretch":1.6}],"services":[{"name":"s"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func checkFiles(t *testing.T, next, inForce string) (code int, out, problems string) {
	t.Helper()
	dir := t.TempDir()
	o := options{CheckConfig: filepath.Join(dir, "next"), InForce: filepath.Join(dir, "in-force")}
	for path, text := range map[string]string{o.CheckConfig: next, o.InForce: inForce} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var stdout, stderr bytes.Buffer
	code = checkConfig(o, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against a sound successor that is rejected or whose differences are not shown.
func TestCheckConfigShowsDifferences(t *testing.T) {
	is := is.New(t)
	next := strings.NewReplacer(`"version":7`, `"version":9`, `"prio":0`, `"prio":1`).Replace(configText)
	code, out, _ := checkFiles(t, next, configText)
	is.Equal(code, daemon.ExitOK)
	is.Equal(out, "version 7 -> 9\nqueue \"stock\": priority 0 -> 1\n")
}

// Guards against errors that do not reach the exit code, and against misspelled fields that nobody notices.
func TestCheckConfigFindsProblems(t *testing.T) {
	is := is.New(t)
	next := strings.NewReplacer(`"prio":0`, `"prioo":1`, `"/a/"`, `"a/"`).Replace(configText)
	code, out, _ := checkFiles(t, next, configText)
	is.Equal(code, daemon.ExitFailure)
	is.True(strings.Contains(out, "can never match"))
	is.True(strings.Contains(out, "routes[0].prioo"))
	is.True(strings.Contains(out, "instances ignore versions that are not higher"))
}

// Guards against a check that passes although the version in force could not be read.
func TestCheckConfigWithoutVersionInForce(t *testing.T) {
	is := is.New(t)
	code, _, problems := checkFiles(t, configText, "{")
	is.Equal(code, daemon.ExitFailure)
	is.True(strings.Contains(problems, "the version in force is not known"))
	code, _, _ = checkFiles(t, "{", configText)
	is.Equal(code, daemon.ExitFailure)
}
