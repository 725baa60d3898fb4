package secure

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// ReadStaffTokens reads the operators' and viewers' tokens. Each line holds the role, the name and the token's digest
// in hexadecimal, separated by spaces. Empty lines and lines that start with # are skipped. The error lists all
// problems with their line numbers.
func ReadStaffTokens(r io.Reader) ([]Entry, error) {
	var entries []Entry
	var problems []error
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		e, err := parseStaff(text)
		if err != nil {
			problems = append(problems, fmt.Errorf("line %d: %w", n, err))
			continue
		}
		entries = append(entries, e)
	}
	problems = append(problems, lines.Err())
	return entries, errors.Join(problems...)
}

// ReadStaffTokensFile is ReadStaffTokens for a file.
func ReadStaffTokensFile(path string) ([]Entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := ReadStaffTokens(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

// parseStaff parses one line. Errors do not contain the line, because it may hold a token where the digest belongs.
func parseStaff(line string) (Entry, error) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return Entry{}, fmt.Errorf("has %d fields, must have 3: role, name and digest", len(fields))
	}
	role, err := ParseRole(fields[0])
	if err != nil {
		return Entry{}, errors.New("the first field must be viewer or operator")
	}
	if role == RoleCaller {
		return Entry{}, errors.New("callers' tokens belong in the configuration")
	}
	digest, err := ParseDigest(fields[2])
	if err != nil {
		return Entry{}, err
	}
	return Entry{Digest: digest, Principal: Principal{Name: fields[1], Role: role}}, nil
}
