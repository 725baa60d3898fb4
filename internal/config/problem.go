package config

import (
	"fmt"
	"strings"

	"github.com/savorypass/savorypass/internal/result"
)

// Problem is one fault of a document.
type Problem struct {
	Code  result.Code `json:"code"`
	Path  string      `json:"path"`            // such as teams[2].quota.cores; empty for the document as a whole
	Line  int         `json:"line,omitempty"`  // line in the document, 0 where it is not known
	Value string      `json:"value,omitempty"` // the value at fault; withheld where it may be a secret
	Bound string      `json:"bound"`           // what is required
}

// String returns the problem as one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "document"
	}
	if p.Line > 0 {
		path = fmt.Sprintf("%s (line %d)", path, p.Line)
	}
	if p.Value == "" {
		return path + ": " + p.Bound
	}
	return fmt.Sprintf("%s: is %s, %s", path, p.Value, p.Bound)
}

// Error returns the problem as one line.
func (p Problem) Error() string { return p.String() }

// Problems is the list of all faults of a document. It is the error type of Decode and Validate.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Code returns the result code of the first problem.
func (ps Problems) Code() result.Code {
	if len(ps) == 0 {
		return result.Accepted
	}
	return ps[0].Code
}

// or returns ps as an error, and nil if it is empty.
func (ps Problems) or() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

const maxShownValue = 64 // bytes of a faulty value that a message repeats

// shown returns a value as a message may repeat it. Values of token_digest are withheld: somebody may have put the
// token itself there.
func shown(path string, v any) string {
	s := fmt.Sprint(v)
	if strings.HasSuffix(path, "token_digest") {
		return fmt.Sprintf("%d bytes (not shown)", len(s))
	}
	if len(s) > maxShownValue {
		s = strings.ToValidUTF8(s[:maxShownValue], "") + "..."
	}
	if _, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return s
}
