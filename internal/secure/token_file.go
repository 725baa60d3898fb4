package secure

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// ReadStaffTokens reads operators' and viewers' tokens: one line each with role, name and the digest in hexadecimal.
// Empty lines and lines that start with # are skipped. All problems are reported at once.
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

// ReadStaffTokensFile reads operators' and viewers' tokens from a file.
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

// parseStaff never repeats the line in an error, since somebody may have put a token where a digest belongs.
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
		return Entry{}, errors.New("callers' tokens belong to the configuration")
	}
	digest, err := ParseDigest(fields[2])
	if err != nil {
		return Entry{}, err
	}
	return Entry{Digest: digest, Principal: Principal{Name: fields[1], Role: role}}, nil
}
