package setup

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jessevdk/go-flags"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/secure"
)

// Exit codes of savory-setup.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Modes of the files and directories that savory-setup creates.
const (
	publicFile = 0o644
	secretFile = 0o600
	secretDir  = 0o700
)

// program holds the options, commands and streams of a run of savory-setup.
type program struct {
	Answers     string `long:"answers" value-name:"FILE" description:"read the answers from a YAML file instead of asking questions"`
	SaveAnswers string `long:"save-answers" value-name:"FILE" description:"write the answers to a file that --answers can read"`
	Out         string `long:"out" value-name:"FILE" description:"write the configuration to a file instead of standard output"`

	Tokens    tokensCommand    `command:"tokens" description:"create tokens and their digests"`
	Authority authorityCommand `command:"authority" description:"create a development certificate authority and the keys of entry instances"`
	Reference referenceCommand `command:"reference" description:"write the reference page of the configuration"`

	in       io.Reader
	out, err io.Writer
}

// Main runs savory-setup and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	p := &program{in: in, out: out, err: errOut}
	p.Tokens.out, p.Authority.out, p.Reference.out = out, out, out
	parser := flags.NewNamedParser("savory-setup", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Questionnaire", "", p); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, usage.Message)
		return exitUsage
	case err == nil && parser.Active == nil && len(rest) > 0:
		fmt.Fprintf(errOut, "unexpected argument %q\n", rest[0])
		return exitUsage
	case err == nil && parser.Active == nil:
		err = p.configure()
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

// configure gets the answers, saves them if requested, and writes the configuration that is derived from them.
func (p *program) configure() error {
	a, err := p.answers()
	if err != nil {
		return err
	}
	if p.SaveAnswers != "" {
		data, err := yaml.Marshal(a)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.SaveAnswers, data, publicFile); err != nil {
			return err
		}
	}
	doc, err := a.Configuration()
	if err != nil {
		return err
	}
	if err := write(p.out, p.Out, doc); err != nil || p.Out == "" {
		return err
	}
	fmt.Fprintf(p.err, "wrote %s: %d services, %d teams, %d operators; publish it with: savoryctl config publish %s\n",
		p.Out, len(a.Services), len(a.Teams), len(a.Operators), p.Out)
	return nil
}

// answers returns the answers from the file, or asks for them. Questions are written to the error output, so that the
// configuration on the standard output can be redirected.
func (p *program) answers() (*Answers, error) {
	if p.Answers == "" {
		return Interview(p.in, p.err)
	}
	doc, err := os.ReadFile(p.Answers)
	if err != nil {
		return nil, err
	}
	return DecodeAnswers(doc)
}

// write writes data to the file at path, or to the stream if path is empty.
func write(stream io.Writer, path string, data []byte) error {
	if path == "" {
		_, err := stream.Write(data)
		return err
	}
	return os.WriteFile(path, data, publicFile)
}

type tokensCommand struct {
	Args struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"yes"`
	out io.Writer
}

// Execute prints a new token and its digest for each name. The tokens are not stored.
func (c *tokensCommand) Execute([]string) error {
	for _, name := range c.Args.Names {
		token := secure.NewToken()
		fmt.Fprintf(c.out, "name: %s\n  token: %s\n  token_digest: %q\n", name, token.Reveal(), config.TokenDigest(token.Reveal()))
	}
	return nil
}

type referenceCommand struct {
	Out string `long:"out" value-name:"FILE" description:"write the page to a file instead of standard output"`
	out io.Writer
}

// Execute writes the reference page of the configuration's schema.
func (c *referenceCommand) Execute([]string) error {
	return write(c.out, c.Out, config.Reference())
}

type authorityCommand struct {
	Out  string `long:"out" value-name:"DIR" required:"true" description:"directory for the files; it is created if it does not exist"`
	Args struct {
		Instances []string `positional-arg-name:"ZONE/INSTANCE" required:"1"`
	} `positional-args:"yes"`
	out io.Writer
}

// Execute writes ca.pem and, for each entry instance, ZONE.INSTANCE.pem and ZONE.INSTANCE.key.pem. The authority's own key
// is not written. Another run therefore creates a new authority, and all instances then need new keys.
func (c *authorityCommand) Execute([]string) error {
	ca, err := secure.NewDevCA(time.Now())
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, secretDir); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "ca.pem"), []byte(ca.CertificatePEM()), publicFile); err != nil {
		return err
	}
	for _, id := range c.Args.Instances {
		if err := c.issue(ca, id); err != nil {
			return err
		}
	}
	return nil
}

// issue writes the certificate and the key of the entry instance with the ID ZONE/INSTANCE.
func (c *authorityCommand) issue(ca *secure.DevCA, id string) error {
	zone, instance, _ := strings.Cut(id, "/")
	s, err := ca.Issue(secure.Name{Zone: zone, Instance: instance})
	if err != nil {
		return err
	}
	base := filepath.Join(c.Out, zone+"."+instance)
	if err := os.WriteFile(base+".pem", []byte(s.Certificate), publicFile); err != nil {
		return err
	}
	if err := os.WriteFile(base+".key.pem", []byte(s.Key), secretFile); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %s.pem, %s.key.pem\n", id, base, base)
	return nil
}
