package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	maxFlowDepth   = 8      // nested [ and {; the schema needs 5 levels, and the recursive parser must not exhaust the stack
	maxIndentation = 64     // columns
	maxTokens      = 30_000 // YAML tokens; the parser's time is quadratic in some inputs: 80,000 tokens took 4.6 s
	maxLineEntries = 4      // consecutive "- " and ": " on one line, each of which nests one level deeper
)

// Decode decodes and validates a document. The error is of type Problems and lists every fault that was found; a
// document that cannot be decoded is not validated.
func Decode(doc []byte) (*Config, error) {
	c := Default()
	problems := DecodeYAML(doc, c)
	if len(problems) > 0 {
		return nil, problems
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// PeekSchema returns the schema version that a document states. It reads nothing else, so it also works for documents
// of a newer schema. The error is of type Problems.
func PeekSchema(doc []byte) (int, error) {
	body, problems := parse(doc)
	if problems != nil {
		return 0, problems
	}
	for _, kv := range mappingPairs(body) {
		if keyOf(kv) != "schema" {
			continue
		}
		var n int
		d := decoder{}
		d.value("schema", kv.Value, reflect.ValueOf(&n).Elem())
		return n, d.problems.asError()
	}
	return 0, Problems{{Code: result.OutOfRange, Path: "schema", Bound: "is required"}}
}

// DecodeYAML decodes a document into the struct that into points to. A key that is absent leaves its field unchanged.
// Unknown keys, duplicate keys and values of the wrong type are problems, and so are anchors, aliases, tags and merge
// keys.
func DecodeYAML(doc []byte, into any) Problems {
	body, problems := parse(doc)
	if problems != nil {
		return problems
	}
	d := decoder{}
	d.value("", body, reflect.ValueOf(into).Elem())
	return d.problems
}

func parse(doc []byte) (body ast.Node, problems Problems) {
	if len(doc) > MaxDocumentBytes {
		return nil, malformed(0, fmt.Sprintf("has %d bytes, must have at most %d", len(doc), MaxDocumentBytes))
	}
	if !utf8.Valid(doc) {
		return nil, malformed(0, "is not valid UTF-8") // the JSON encoding of the record would alter the document
	}
	defer func() {
		// The parser panics on some malformed inputs because it indexes its tokens without bounds checks.
		if p := recover(); p != nil {
			body, problems = nil, malformed(0, "is not valid YAML")
		}
	}()
	if problems = checkTokens(lexer.Tokenize(string(doc))); problems != nil {
		return nil, problems
	}
	file, err := parser.ParseBytes(doc, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblem(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, malformed(0, fmt.Sprintf("holds %d YAML documents, must hold exactly one that is not empty", len(file.Docs)))
	}
	return file.Docs[0].Body, nil
}

func malformed(line int, bound string) Problems {
	return Problems{{Code: result.MalformedBody, Line: line, Bound: bound}}
}

// syntaxProblem returns the problem for a syntax error without the parser's message, which quotes the source and may
// thus contain a secret.
func syntaxProblem(err error) Problems {
	var e yaml.Error
	if !errors.As(err, &e) {
		return malformed(0, "is not valid YAML")
	}
	line := 0
	if tk := e.GetToken(); tk != nil && tk.Position != nil {
		line = tk.Position.Line
	}
	return malformed(line, "is not valid YAML")
}

// checkTokens refuses YAML features that the schema does not need, and nesting that could exhaust the stack of the
// recursive parser.
func checkTokens(tokens token.Tokens) Problems {
	if len(tokens) > maxTokens {
		return malformed(0, fmt.Sprintf("has %d YAML tokens, must have at most %d", len(tokens), maxTokens))
	}
	flowDepth, entries, line := 0, 0, 0
	for _, tk := range tokens {
		if tk.Position.Line != line && flowDepth == 0 {
			entries = 0
		}
		line = tk.Position.Line
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			return malformed(line, fmt.Sprintf("uses a YAML %s, which is not supported", strings.ToLower(tk.Type.String())))
		case token.InvalidType:
			return malformed(line, "is not valid YAML")
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
			entries = 0
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
			entries = 0
		case token.CollectEntryType:
			entries = 0
		case token.SequenceEntryType, token.MappingValueType:
			entries++
		}
		if flowDepth > maxFlowDepth || entries > maxLineEntries || tk.Position.IndentNum > maxIndentation {
			return malformed(line, "is nested too deeply")
		}
	}
	return nil
}

// decoder decodes YAML nodes into values and collects the problems.
type decoder struct{ problems Problems }

func (d *decoder) add(code result.Code, path string, n ast.Node, value, bound string) {
	p := Problem{Code: code, Path: path, Value: value, Bound: bound}
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		p.Line = tk.Position.Line
	}
	d.problems = append(d.problems, p)
}

func (d *decoder) wrongType(path string, n ast.Node, want string) {
	d.add(result.WrongType, path, n, describe(path, n), "must be "+want)
}

func (d *decoder) value(path string, n ast.Node, v reflect.Value) {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.duration(path, n, v)
	case v.Kind() == reflect.Pointer:
		v.Set(newWithDefaults(v.Type().Elem()))
		d.value(path, n, v.Elem())
	case v.Kind() == reflect.Struct:
		d.object(path, n, v)
	case v.Kind() == reflect.Slice:
		d.list(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

func newWithDefaults(t reflect.Type) reflect.Value {
	p := reflect.New(t)
	if def, ok := p.Interface().(defaulter); ok {
		def.setDefaults()
	}
	return p
}

func (d *decoder) object(path string, n ast.Node, v reflect.Value) {
	if !isMapping(n) {
		d.wrongType(path, n, "an object")
		return
	}
	seen := map[string]bool{}
	for _, kv := range mappingPairs(n) {
		key := keyOf(kv)
		at := joinPath(path, key)
		field, ok := fieldOf(v, key)
		switch {
		case !ok:
			d.add(result.UnknownField, at, kv.Key, "", "is not a known key")
		case seen[key]:
			d.add(result.UnknownField, at, kv.Key, "", "is given more than once")
		default:
			seen[key] = true
			d.value(at, kv.Value, field)
		}
	}
}

func (d *decoder) list(path string, n ast.Node, v reflect.Value) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.wrongType(path, n, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, len(seq.Values)))
	for i, item := range seq.Values {
		elem := newWithDefaults(v.Type().Elem()).Elem()
		d.value(fmt.Sprintf("%s[%d]", path, i), item, elem)
		v.Set(reflect.Append(v, elem))
	}
}

func (d *decoder) duration(path string, n ast.Node, v reflect.Value) {
	const want = "a duration such as 250ms, 30s or 10m"
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.wrongType(path, n, want)
		return
	}
	t, err := time.ParseDuration(s.Value)
	if err != nil {
		d.wrongType(path, n, want)
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) scalar(path string, n ast.Node, v reflect.Value) {
	switch node := n.(type) {
	case *ast.StringNode:
		if v.Kind() == reflect.String {
			v.SetString(node.Value)
			return
		}
	case *ast.BoolNode:
		if v.Kind() == reflect.Bool {
			v.SetBool(node.Value)
			return
		}
	case *ast.FloatNode:
		if v.Kind() == reflect.Float64 {
			v.SetFloat(node.Value)
			return
		}
	case *ast.IntegerNode:
		if d.integer(path, node, v) {
			return
		}
	}
	d.wrongType(path, n, kindName(v.Kind()))
}

// integer decodes an integer node into an integer or floating-point field. It reports whether the node was handled: the
// field was set or a problem was added.
func (d *decoder) integer(path string, n *ast.IntegerNode, v reflect.Value) bool {
	i, fits := n.Value.(int64)
	if u, ok := n.Value.(uint64); ok {
		i, fits = int64(u), u <= 1<<63-1
	}
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
	case reflect.Float64:
		v.SetFloat(float64(i))
		return fits
	default:
		return false
	}
	if !fits {
		d.add(result.OutOfRange, path, n, describe(path, n), "must fit in 64 bits")
		return true
	}
	v.SetInt(i)
	return true
}

func describe(path string, n ast.Node) string {
	switch node := n.(type) {
	case *ast.StringNode:
		return displayValue(path, node.Value)
	case *ast.NullNode:
		return "empty"
	case *ast.SequenceNode:
		return "a list"
	case ast.ScalarNode:
		return displayValue(path, node.GetValue())
	}
	return "an object"
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text; put it in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func isMapping(n ast.Node) bool {
	return n.Type() == ast.MappingType || n.Type() == ast.MappingValueType
}

func mappingPairs(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

func keyOf(kv *ast.MappingValueNode) string {
	if s, ok := kv.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return displayValue("", kv.Key.GetToken().Value)
}

func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
