package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/mustardwalk/mustardwalk/api"
)

const (
	maxDepth    = 32
	maxFindings = 50
)

// Decode decodes one JSON object strictly: names must match exactly, and unknown or repeated fields, null, texts that are not
// valid Unicode, trailing data and values of a wrong type are findings with their line and field. Into is a pointer to a struct.
func Decode(data []byte, into any) []api.Finding {
	v := &validator{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	v.object(reflect.TypeOf(into).Elem())
	if len(v.findings) == 0 {
		v.texts()
	}
	if len(v.findings) > 0 {
		return v.findings
	}
	err := json.Unmarshal(data, into)
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		v.addFinding(mismatch.Offset, mismatch.Field, fmt.Sprintf("a JSON %s does not fit here", mismatch.Value))
	case err != nil:
		v.addFinding(0, "", err.Error())
	}
	return v.findings
}

// validator reads a document token by token, compares its fields with those of a type and collects the findings.
type validator struct {
	data     []byte
	decoder  *json.Decoder
	findings []api.Finding
	broken   bool // The document is invalid or nested too deeply, so the rest is not read.
}

// addFinding adds a finding with the line of an offset, unless there are maxFindings already.
func (v *validator) addFinding(offset int64, field, message string) {
	if len(v.findings) >= maxFindings {
		return
	}
	offset = min(max(offset, 0), int64(len(v.data)))
	line := 1 + bytes.Count(v.data[:offset], []byte{'\n'})
	v.findings = append(v.findings, api.Finding{Line: line, Field: field, Message: message})
}

// object reads the whole document, which must be one object of type t.
func (v *validator) object(t reflect.Type) {
	first := v.token("")
	if v.broken {
		return
	}
	if first != json.Delim('{') {
		v.addFinding(v.decoder.InputOffset(), "", "the body must be a JSON object")
		return
	}
	v.fields(t, "", 1)
	if v.broken {
		return
	}
	if _, err := v.decoder.Token(); !errors.Is(err, io.EOF) {
		v.addFinding(v.decoder.InputOffset(), "", "data follows the JSON object")
	}
}

// texts adds a finding if a text is not valid Unicode: encoding/json would replace a part of it.
func (v *validator) texts() {
	d := jsontext.NewDecoder(bytes.NewReader(v.data))
	if _, err := d.ReadValue(); err != nil {
		offset := int64(0)
		var syntax *jsontext.SyntacticError
		if errors.As(err, &syntax) {
			offset = syntax.ByteOffset
		}
		v.addFinding(offset, "", "a text is not valid Unicode")
	}
}

// token reads the next token. If there is none, it adds a finding and sets broken.
func (v *validator) token(path string) json.Token {
	t, err := v.decoder.Token()
	if err != nil {
		v.broken = true
		message := "the JSON is not valid"
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			message = "the JSON ends too early"
		}
		v.addFinding(v.decoder.InputOffset(), path, message)
	}
	return t
}

// fields reads an object after its opening brace. A nil type accepts any field.
func (v *validator) fields(t reflect.Type, path string, depth int) {
	known := fieldTypes(t)
	seen := map[string]bool{}
	for !v.broken && v.decoder.More() {
		name, _ := v.token(path).(string)
		if v.broken {
			return
		}
		field := joinPath(path, name)
		inner, found := known[name]
		if t != nil && !found {
			v.addFinding(v.decoder.InputOffset(), field, "unknown field")
		}
		if seen[name] {
			v.addFinding(v.decoder.InputOffset(), field, "the field is repeated")
		}
		seen[name] = true
		v.value(inner, field, depth)
	}
	if !v.broken {
		v.token(path)
	}
}

// value reads one value. A nil type accepts any value.
func (v *validator) value(t reflect.Type, path string, depth int) {
	first := v.token(path)
	if v.broken {
		return
	}
	if depth >= maxDepth {
		v.broken = true
		v.addFinding(v.decoder.InputOffset(), path, "nested too deeply")
		return
	}
	switch first {
	case nil:
		v.addFinding(v.decoder.InputOffset(), path, "null is not a value of this field")
	case json.Delim('{'):
		v.fields(structType(t), path, depth+1)
	case json.Delim('['):
		v.elements(t, path, depth+1)
	}
}

// elements reads an array after its opening bracket.
func (v *validator) elements(t reflect.Type, path string, depth int) {
	var inner reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		inner = t.Elem()
	}
	for i := 0; !v.broken && v.decoder.More(); i++ {
		v.value(inner, fmt.Sprintf("%s[%d]", path, i), depth)
	}
	if !v.broken {
		v.token(path)
	}
}

// structType returns t if it is a struct type, else nil, which accepts any field.
func structType(t reflect.Type) reflect.Type {
	if t != nil && t.Kind() == reflect.Struct {
		return t
	}
	return nil
}

// fieldTypes returns the types of a struct's fields by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	if t == nil {
		return nil
	}
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = t.Field(i).Type
		}
	}
	return out
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
