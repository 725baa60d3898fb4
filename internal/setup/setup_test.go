package setup

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/secure"
)

func read(t *testing.T, path ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(append([]string{"..", ".."}, path...)...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func example(t *testing.T, name string) *config.Config {
	t.Helper()
	c, err := config.Decode(read(t, "examples", name, "config.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against generated files that were not generated again after a change of their source, and against tokens in the
// examples' pages that their configurations do not contain.
func TestGeneratedFilesAreCurrent(t *testing.T) {
	is := is.New(t)
	is.Equal(string(config.Reference()), string(read(t, "docs", "configuration.md")))
	for _, name := range []string{"halloway", "petra"} {
		a, err := DecodeAnswers(read(t, "examples", name, "answers.yaml"))
		is.NoErr(err)
		doc, err := a.Configuration()
		is.NoErr(err)
		is.Equal(string(doc), string(read(t, "examples", name, "config.yaml")))
		tokens := regexp.MustCompile("`(svp_[^`]+)`").FindAllSubmatch(read(t, "examples", name, "README.md"), -1)
		is.Equal(len(tokens), bytes.Count(doc, []byte("token_digest: ")))
		for _, token := range tokens {
			is.True(bytes.Contains(doc, []byte(config.TokenDigest(string(token[1])))))
		}
	}
}

// Guards against rules that derive the same configuration for both examples although their answers differ.
func TestExamplesDifferWhereNeedsDiffer(t *testing.T) {
	is := is.New(t)
	h, p := example(t, "halloway"), example(t, "petra")
	is.True(p.Order.ShortReserve > h.Order.ShortReserve)         // Petra: short tasks do not wait for long ones
	is.True(h.Admission.MaxWait < p.Admission.MaxWait)           // Halloway: little backlog after a burst
	is.True(h.Admission.SafetyFactor > p.Admission.SafetyFactor) // Halloway: a late answer is dangerous
	dispatch, _ := h.Service("crew-dispatch")
	check, _ := h.Service("washout-check")
	notice, _ := p.Service("collection-notice")
	is.True(!dispatch.Idempotent && !notice.Idempotent && check.Idempotent)
	for _, s := range p.Services { // Petra: all work ends before closing time
		is.True(s.DefaultDeadline <= 2*time.Minute && s.MaxRunTime <= 2*time.Minute)
	}
	a, err := DecodeAnswers(bytes.Replace(read(t, "examples", "petra", "answers.yaml"), []byte("night_shift: false"), []byte("night_shift: true"), 1))
	is.NoErr(err)
	is.Equal(a.deadline(&a.Services[2]).value, 5*time.Minute) // without closing hours, the deadline is that of the urgency
}

// Guards against questions that accept answers which the configuration refuses, and against an interview that does not end
// when its input ends.
func TestInterview(t *testing.T) {
	is := is.New(t)
	digest := strings.Repeat("a", 64)
	lines := []string{"Shop", "0", "1", "Bad Zone", "bench", "", // one zone, after two refused answers
		"10", "", "", "", "", "fastest", "short_work", "", "", "", "no", "soon", "1m", // workers to closing hours
		"1", "quote", "today", "", "", "none", "", "", "", "", "", // one service
		"1", "counter", "50", "maybe", "y", "", "1", "till", "token", digest, // one team
		"0"}
	var out bytes.Buffer
	a, err := Interview(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	is.NoErr(err)
	doc, err := a.Configuration()
	is.NoErr(err)
	c, err := config.Decode(doc)
	is.NoErr(err)
	is.Equal(c.Services[0].DefaultDeadline, time.Minute)
	is.Equal(c.Teams[0].Quota.Cores, 80.0) // half of ten workers
	is.Equal(strings.Count(out.String(), "The answer must be"), 6)
	_, err = Interview(strings.NewReader("Shop\n"), &out)
	is.True(err != nil)
}

// Guards against invalid answers that are accepted, and against an error that lists only the first of several problems.
func TestFaultyAnswers(t *testing.T) {
	is := is.New(t)
	doc := string(read(t, "examples", "petra", "answers.yaml"))
	for old, new := range map[string]string{
		"share_percent: 70": "share_percent: 71", "urgency: today": "urgency: soon", "last_request: 2m": "last_request: 100ms",
		"cores: 16": "cores: 1",
	} {
		doc = strings.Replace(doc, old, new, 1)
	}
	_, err := DecodeAnswers([]byte(doc))
	is.True(err != nil)
	for _, want := range []string{"services[2].urgency: is \"soon\"", "closing.last_request: is 100ms, must be at least 1s",
		"teams: is 101% in all", "services[1]: is larger than a worker", "services[0].run_time: is 150ms, must be at most closing"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
}

// Guards against subcommands whose output the daemon cannot use, and against a private key that other users can read.
func TestSubcommands(t *testing.T) {
	is := is.New(t)
	run := func(want int, args ...string) string {
		var out, errOut bytes.Buffer
		is.Equal(Main(args, strings.NewReader(""), &out, &errOut), want)
		return out.String() + errOut.String()
	}
	dir := t.TempDir()
	run(0, "authority", "--out", dir, "blackstone/entry-1", "farmington/entry-2")
	base := filepath.Join(dir, "farmington.entry-2")
	_, err := secure.LoadTLS(secure.TLSSettings{Certificate: base + ".pem", Key: base + ".key.pem", CA: filepath.Join(dir, "ca.pem")})
	is.NoErr(err)
	info, err := os.Stat(base + ".key.pem")
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))

	var name, token, digest string
	_, err = fmt.Sscanf(run(0, "tokens", "till"), "name: %s\n  token: %s\n  token_digest: %q\n", &name, &token, &digest)
	is.NoErr(err)
	is.Equal(digest, config.TokenDigest(token))

	is.True(strings.Contains(run(1), "input ended"))
	is.True(strings.Contains(run(2, "--colour"), "colour"))
	is.True(strings.Contains(run(2, "authority", "--out", dir), "ZONE/INSTANCE"))
	run(1, "authority", "--out", dir, "../x/y")
	saved := filepath.Join(dir, "answers.yaml")
	first := run(0, "--answers", "../../examples/petra/answers.yaml", "--save-answers", saved)
	is.Equal(run(0, "--answers", saved), first)
}
