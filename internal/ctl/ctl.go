// Package ctl implements savoryctl, the operators' command line. It reads and changes the configuration, shows and
// controls the instances through their operators' listeners, and submits jobs as a caller.
//
// An instance is an entry instance, a process of the dispatcher. Each instance knows the others through heartbeats and
// lists them, its members, in its status. An instance is gone if the others have declared it dead. An incarnation is one
// run of an instance's process; when the process ends, the open jobs of the incarnation are lost. The home of a job is the
// incarnation that issued the job's identity.
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

// Env holds the streams and the clock that Run uses.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	Now      func() time.Time
	Sleep    func(time.Duration)
}

// ProcessEnv returns the standard streams of this process and the system clock.
func ProcessEnv() Env {
	return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Now: time.Now, Sleep: time.Sleep}
}

// settings are the options that every command has.
type settings struct {
	Endpoints []string      `short:"e" long:"endpoint" env:"SAVORY_ENDPOINTS" env-delim:"," value-name:"ADDRESS" description:"operators' address of an instance, HOST:PORT or https://HOST:PORT; may be repeated, the other instances are found through it"`
	TokenFile string        `long:"token-file" env:"SAVORY_TOKEN_FILE" value-name:"FILE" description:"file with the bearer token; SAVORY_TOKEN holds the token itself"`
	Output    string        `short:"o" long:"output" env:"SAVORY_OUTPUT" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout   time.Duration `long:"timeout" env:"SAVORY_TIMEOUT" default:"5s" description:"longest wait for one answer"`
	CA        string        `long:"ca" env:"SAVORY_CA" value-name:"FILE" description:"CA certificates that the instances' certificates are verified against"`
	Cert      string        `long:"cert" env:"SAVORY_CERT" value-name:"FILE" description:"client certificate"`
	Key       string        `long:"key" env:"SAVORY_KEY" value-name:"FILE" description:"key of the client certificate"`
}

// app is the state of one invocation.
type app struct {
	settings
	Env
	parser        *flags.Parser
	client        *client
	in            *bufio.Reader   // Env.In, from which confirmations and documents are read
	goneAddresses map[string]bool // by operators' address: whether the other instances regarded the instance as gone at the last discovery
}

// Run carries out the command that args name and returns the exit code. args do not include the program's name.
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

// run checks the settings, prepares the client and executes a command.
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
	if _, ok := command.(*dispatchersCommand); !ok { // the command dispatchers queries listeners that need no token
		token, err = a.readToken()
	}
	if err != nil {
		return err
	}
	conf, err := tlsConfig(a.CA, a.Cert, a.Key)
	if err != nil {
		return err
	}
	a.Endpoints = dropEmpty(a.Endpoints)
	if err := checkAddresses("--endpoint", a.Endpoints); err != nil {
		return err
	}
	a.client = newClient(token, conf, a.Timeout)
	return command.Execute(args)
}

// dropEmpty returns the addresses without empty ones, which an empty environment variable leads to.
func dropEmpty(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(s string) bool { return strings.TrimSpace(s) == "" })
}

// checkAddresses returns an error for an address without a port. Without this check, requests to it would go to port 80.
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

// readToken reads the token from a file or the environment. There is no option for the token itself, because other
// users can see a process's arguments.
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

// report prints an error with its advice, or the help text, and returns the exit code.
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
		a.printAdvice(err)
	}
	return exitCode(err)
}

// get sends a GET request to the given endpoints in turn until one answers, and returns that endpoint. A refusal is an
// answer, too.
func (a *app) get(path string, into any) (endpoint string, err error) {
	if err := a.requireEndpoints(); err != nil {
		return "", err
	}
	var problems []error
	for _, e := range a.Endpoints {
		err := a.getFrom(e, path, into)
		var noResponse *noResponseError
		if !errors.As(err, &noResponse) {
			return e, err
		}
		problems = append(problems, err)
	}
	return "", exitf(ExitUnreachable, "no instance answered:\n%w", errors.Join(problems...))
}

func (a *app) getFrom(endpoint, path string, into any) error {
	return a.client.call(request{address: endpoint, method: http.MethodGet, path: path, timeout: a.Timeout}, into)
}

func (a *app) requireEndpoints() error {
	if len(a.Endpoints) == 0 {
		return usagef("no endpoint is given: set SAVORY_ENDPOINTS or --endpoint")
	}
	return nil
}

// confirm asks a yes-or-no question. It returns an error unless the answer is yes.
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
