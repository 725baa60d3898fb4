// Package ctl is the operators' command line: it reads and changes the configuration and shows and controls the
// instances through their operators' listeners.
package ctl

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/savorypass/savorypass/internal/secure"
)

// Env is what the command line takes from its process.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	Now      func() time.Time
	Sleep    func(time.Duration)
}

// ProcessEnv returns the environment of this process.
func ProcessEnv() Env {
	return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Now: time.Now, Sleep: time.Sleep}
}

// settings hold for every command.
type settings struct {
	Endpoints []string      `short:"e" long:"endpoint" env:"SAVORY_ENDPOINTS" env-delim:"," value-name:"ADDRESS" description:"operators' address of an instance, HOST:PORT or https://HOST:PORT; may be repeated, the others are found from it"`
	TokenFile string        `long:"token-file" env:"SAVORY_TOKEN_FILE" value-name:"FILE" description:"file with the bearer token; SAVORY_TOKEN holds the token itself"`
	Output    string        `short:"o" long:"output" env:"SAVORY_OUTPUT" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   time.Duration `long:"timeout" env:"SAVORY_TIMEOUT" default:"5s" description:"longest wait for one answer"`
	CA        string        `long:"ca" env:"SAVORY_CA" value-name:"FILE" description:"certificates of the authority that instances are checked against"`
	Cert      string        `long:"cert" env:"SAVORY_CERT" value-name:"FILE" description:"own certificate"`
	Key       string        `long:"key" env:"SAVORY_KEY" value-name:"FILE" description:"key of the own certificate"`
}

// app is one run of the command line.
type app struct {
	settings
	Env
	parser *flags.Parser
	client *client
	in     *bufio.Reader
	gone   map[string]bool // operators' addresses of instances that the others see as gone
}

// Run carries out a command and returns the exit code.
func Run(args []string, env Env) int {
	a := &app{Env: env, in: bufio.NewReader(env.In)}
	a.parser = flags.NewNamedParser("savoryctl", flags.HelpFlag|flags.PassDoubleDash)
	a.parser.LongDescription = overview
	if err := a.addCommands(); err != nil {
		fmt.Fprintln(a.Err, "savoryctl:", err)
		return ExitFailed
	}
	a.parser.CommandHandler = a.run
	_, err := a.parser.ParseArgs(args)
	return a.report(err)
}

// run checks the settings before a command uses them.
func (a *app) run(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if len(args) > 0 {
		return usagef("argument %q is not expected", args[0])
	}
	if _, ok := command.(*completionCommand); ok {
		return command.Execute(args)
	}
	if a.Timeout <= 0 {
		return usagef("--timeout is %v, must be more than 0", a.Timeout)
	}
	var token secure.Secret
	var err error
	if _, ok := command.(*dispatchersCommand); !ok { // these listeners know no tokens
		token, err = a.readToken()
	}
	if err != nil {
		return err
	}
	conf, err := tlsConfig(a.CA, a.Cert, a.Key)
	if err != nil {
		return err
	}
	a.Endpoints = named(a.Endpoints)
	if err := checkAddresses("--endpoint", a.Endpoints); err != nil {
		return err
	}
	a.client = newClient(token, conf, a.Timeout)
	return command.Execute(args)
}

// named drops empty addresses, which an empty environment variable gives.
func named(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(s string) bool { return strings.TrimSpace(s) == "" })
}

// checkAddresses refuses addresses without a port, which would be asked on port 80.
func checkAddresses(option string, addresses []string) error {
	for _, address := range addresses {
		host := address
		if _, rest, ok := strings.Cut(address, "://"); ok {
			host = rest
		}
		if _, port, err := net.SplitHostPort(host); err != nil || port == "" {
			return usagef("%s %q must be HOST:PORT or https://HOST:PORT", option, address)
		}
	}
	return nil
}

// readToken takes the token from a file or the environment, never from an argument that other users can see.
func (a *app) readToken() (secure.Secret, error) {
	if a.TokenFile == "" {
		if token := os.Getenv("SAVORY_TOKEN"); token != "" {
			return secure.Secret(token), nil
		}
		return "", usagef("no token: set SAVORY_TOKEN, SAVORY_TOKEN_FILE or --token-file")
	}
	text, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return "", usagef("--token-file: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", usagef("--token-file: %s must hold one token and nothing else", a.TokenFile)
	}
	return secure.Secret(token), nil
}

// report prints an error and returns its exit code.
func (a *app) report(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(a.Out, flagError.Message)
			return ExitOK
		}
		fmt.Fprintf(a.Err, "savoryctl: %s\nsavoryctl: see savoryctl --help\n", flagError.Message)
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(a.Err, "savoryctl:", secure.RedactText(err.Error()))
		a.advise(err)
	}
	return exitCode(err)
}

// get asks the given endpoints in turn until one answers.
func (a *app) get(path string, into any) (endpoint string, err error) {
	if err := a.needEndpoints(); err != nil {
		return "", err
	}
	var problems []error
	for _, e := range a.Endpoints {
		err := a.getFrom(e, path, into)
		var broken *brokenError
		if !errors.As(err, &broken) {
			return e, err
		}
		problems = append(problems, err)
	}
	return "", exitf(ExitUnreachable, "no instance answered:\n%w", errors.Join(problems...))
}

func (a *app) getFrom(endpoint, path string, into any) error {
	return a.client.call(request{address: endpoint, method: http.MethodGet, path: path, timeout: a.Timeout}, into)
}

func (a *app) needEndpoints() error {
	if len(a.Endpoints) == 0 {
		return usagef("no instance is named: set SAVORY_ENDPOINTS or --endpoint")
	}
	return nil
}

// confirm asks a yes-or-no question. Without an answer nothing is done.
func (a *app) confirm(question string) error {
	fmt.Fprintf(a.Err, "%s [y/N] ", question)
	line, err := a.in.ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return nil
	}
	if errors.Is(err, io.EOF) && line == "" {
		return usagef("no answer on standard input; use --yes in scripts")
	}
	return exitf(ExitFailed, "not confirmed; nothing was changed")
}
