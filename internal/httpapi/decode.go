package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/mustardwalk/mustardwalk/api"
)

const (
	maxDepth    = 32
	maxFindings = 50
)

// Decode decodes one JSON object strictly: names must match exactly, and unknown or repeated fields, trailing data and
// values of a wrong type are findings with their line and field. Into is a pointer to a struct.
func Decode(data []byte, into any) []api.Finding {
	w := &validator{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	w.object(reflect.TypeOf(into).Elem())
	if len(w.findings) > 0 {
		return w.findings
	}
	err := json.Unmarshal(data, into)
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		w.addFinding(mismatch.Offset, mismatch.Field, fmt.Sprintf("a JSON %s does not fit here", mismatch.Value))
	case err != nil:
		w.addFinding(0, "", err.Error())
	}
	return w.findings
}

// validator reads a document token by token, compares its fields with those of a type and collects the findings.
type validator struct {
	data     []byte
	decoder  *json.Decoder
	findings []api.Finding
	broken   bool // The document is invalid or nested too deeply, so the rest is not read.
}

func (w *validator) addFinding(offset int64, field, message string) {
	if len(w.findings) >= maxFindings {
		return
	}
	offset = min(max(offset, 0), int64(len(w.data)))
	line := 1 + bytes.Count(w.data[:offset], []byte{'\n'})
	w.findings = append(w.findings, api.Finding{Line: line, Field: field, Message: message})
}

func (w *validator) object(t reflect.Type) {
	first := w.token("")
	if w.broken {
		return
	}
	if first != json.Delim('{') {
		w.addFinding(w.decoder.InputOffset(), "", "the body must be a JSON object")
		return
	}
	w.fields(t, "", 1)
	if w.broken {
		return
	}
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		w.addFinding(w.decoder.InputOffset(), "", "data follows the JSON object")
	}
}

func (w *validator) token(path string) json.Token {
	t, err := w.decoder.Token()
	if err != nil {
		w.broken = true
		message := "the JSON is not valid"
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			message = "the JSON ends too early"
		}
		w.addFinding(w.decoder.InputOffset(), path, message)
	}
	return t
}

// fields reads an object after its opening brace. A nil type accepts any field.
func (w *validator) fields(t reflect.Type, path string, depth int) {
	known := fieldTypes(t)
	seen := map[string]bool{}
	for !w.broken && w.decoder.More() {
		name, _ := w.token(path).(string)
		if w.broken {
			return
		}
		field := joinPath(path, name)
		inner, found := known[name]
		if t != nil && !found {
			w.addFinding(w.decoder.InputOffset(), field, "unknown field")
		}
		if seen[name] {
			w.addFinding(w.decoder.InputOffset(), field, "the field is repeated")
		}
		seen[name] = true
		w.value(inner, field, depth)
	}
	if !w.broken {
		w.token(path)
	}
}

func (w *validator) value(t reflect.Type, path string, depth int) {
	first := w.token(path)
	if w.broken {
		return
	}
	if depth >= maxDepth {
		w.broken = true
		w.addFinding(w.decoder.InputOffset(), path, "nested too deeply")
		return
	}
	switch first {
	case json.Delim('{'):
		w.fields(structType(t), path, depth+1)
	case json.Delim('['):
		w.elements(t, path, depth+1)
	}
}

func (w *validator) elements(t reflect.Type, path string, depth int) {
	var inner reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		inner = t.Elem()
	}
	for i := 0; !w.broken && w.decoder.More(); i++ {
		w.value(inner, fmt.Sprintf("%s[%d]", path, i), depth)
	}
	if !w.broken {
		w.token(path)
	}
}

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
