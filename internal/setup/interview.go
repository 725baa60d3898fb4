package setup

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/config"
)

// errInputEnded is returned if the input ends before the last question is answered.
var errInputEnded = errors.New("input ended before the last question was answered")

// interview asks the questions of the ask tags. It reads one line per answer and repeats a question until the answer is
// valid.
type interview struct {
	in  *bufio.Scanner
	out io.Writer
}

// Interview asks for all answers interactively. It writes the questions to out and reads the answers from in.
func Interview(in io.Reader, out io.Writer) (*Answers, error) {
	iv := &interview{in: bufio.NewScanner(in), out: out}
	a := defaultAnswers()
	fmt.Fprintln(out, "Press return to accept the value in brackets.")
	if err := iv.object(reflect.ValueOf(a).Elem()); err != nil {
		return nil, err
	}
	if problems := a.check(); len(problems) > 0 {
		return nil, problems
	}
	return a, nil
}

// object asks for all fields of a struct.
func (iv *interview) object(v reflect.Value) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if err := iv.field(f, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func (iv *interview) field(f reflect.StructField, v reflect.Value) error {
	question, rules := f.Tag.Get("ask"), f.Tag.Get("validate")
	switch v.Kind() {
	case reflect.Struct:
		fmt.Fprintf(iv.out, "\n%s\n", question)
		return iv.object(v)
	case reflect.Slice:
		return iv.list(question, rules, v)
	}
	if def, ok := elementDefaults[f.Name]; ok && v.IsZero() {
		v.Set(reflect.ValueOf(def))
	}
	return iv.scalar(question, rules, v)
}

// list asks for the number of elements and then for each element. rules are those of the list; the part after dive holds
// those of the elements.
func (iv *interview) list(question, rules string, v reflect.Value) error {
	listRules, elementRules, _ := strings.Cut(rules, "dive")
	listRules = strings.TrimSuffix(strings.ReplaceAll(listRules, "unique,", ""), ",")
	n := 1
	if err := iv.scalar("\n"+question+": how many", listRules, reflect.ValueOf(&n).Elem()); err != nil {
		return err
	}
	for i := range n {
		item := reflect.New(v.Type().Elem()).Elem()
		title := fmt.Sprintf("%s, number %d of %d", question, i+1, n)
		if err := iv.element(title, strings.TrimPrefix(elementRules, ","), item); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	return nil
}

func (iv *interview) element(title, rules string, item reflect.Value) error {
	if item.Kind() != reflect.Struct {
		return iv.scalar(title, rules, item)
	}
	fmt.Fprintf(iv.out, "\n%s\n", title)
	return iv.object(item)
}

// scalar asks a question until the answer has the type of v and follows the rules. The value of v is the default.
func (iv *interview) scalar(question, rules string, v reflect.Value) error {
	for {
		def := ""
		if !v.IsZero() || v.Kind() != reflect.String {
			def = fmt.Sprintf(" [%s]", plainText(v.Interface()))
		}
		fmt.Fprintf(iv.out, "%s%s: ", question, def)
		if !iv.in.Scan() {
			return errors.Join(errInputEnded, iv.in.Err())
		}
		next := reflect.New(v.Type()).Elem()
		next.Set(v)
		problem := parseAnswer(strings.TrimSpace(iv.in.Text()), next)
		if problem == "" {
			problem = config.CheckValue(next.Interface(), rules)
		}
		if problem == "" {
			v.Set(next)
			return nil
		}
		fmt.Fprintf(iv.out, "  The answer %s.\n", problem)
	}
}

// plainText formats a default for a question.
func plainText(v any) string {
	if b, ok := v.(bool); ok {
		return map[bool]string{true: "yes", false: "no"}[b]
	}
	return strings.Trim(yamlText(v), `"`)
}

// parseAnswer parses text as the type of v and stores it. It returns the requirement that text does not meet, or "". Empty
// text leaves v unchanged.
func parseAnswer(text string, v reflect.Value) string {
	if text == "" {
		return ""
	}
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d, err := time.ParseDuration(text)
		v.SetInt(int64(d))
		return messageIf(err, "must be a duration such as 250ms, 30s or 10m")
	case v.Kind() == reflect.String:
		v.SetString(text)
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "yes" || text == "y")
		if text != "yes" && text != "y" && text != "no" && text != "n" {
			return "must be yes or no"
		}
	case v.Kind() == reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		if f != f {
			return "must be a number"
		}
		return messageIf(err, "must be a number")
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
		return messageIf(err, "must be a whole number")
	}
	return ""
}

func messageIf(err error, bound string) string {
	if err != nil {
		return bound
	}
	return ""
}
