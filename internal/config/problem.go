package config

import (
	"fmt"
	"strings"

	"github.com/savorypass/savorypass/internal/result"
)

// Problem is one fault in a document.
type Problem struct {
	Code  result.Code `json:"code"`
	Path  string      `json:"path"`            // such as teams[2].quota.cores; empty for the document as a whole
	Line  int         `json:"line,omitempty"`  // line in the document; 0 if unknown
	Value string      `json:"value,omitempty"` // the faulty value; withheld if it may be a secret
	Bound string      `json:"bound"`           // what is required, such as: must be at most 160
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

// Problems lists all faults of a document. It is the error type of Decode and Validate.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Code returns the result code of the first problem, or result.Accepted if there are none.
func (ps Problems) Code() result.Code {
	if len(ps) == 0 {
		return result.Accepted
	}
	return ps[0].Code
}

// asError returns ps as an error, or nil if ps is empty.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// maxDisplayedBytes is the length at which a faulty value is cut in a message.
const maxDisplayedBytes = 64

// displayValue formats a value for a message. A value of token_digest is withheld because somebody may have put the token
// itself there by mistake.
func displayValue(path string, v any) string {
	s := fmt.Sprint(v)
	if strings.HasSuffix(path, "token_digest") {
		return fmt.Sprintf("%d bytes (not shown)", len(s))
	}
	if len(s) > maxDisplayedBytes {
		s = strings.ToValidUTF8(s[:maxDisplayedBytes], "") + "..."
	}
	if _, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return s
}
