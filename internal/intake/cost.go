package intake

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// What the parts of a request take in memory.
const (
	// fieldCost is for a line of a header: an entry of the map, a list of one value and the name, while the map grows.
	fieldCost = 160
	// growth is by how much an element of a list takes more than its own size: the list doubles while it grows, and what is
	// decoded is copied to the types of the scheduler.
	growth = 4
	// elementCost is for what an element of a list has beside its own size, such as a short text or an entry in an index.
	elementCost = 64
	// nameCost is for a name in an object that is not known. The decoder keeps such names, to find those that are repeated.
	nameCost = 128
)

// HeaderCost returns what a part of a header takes in memory once it is parsed.
func HeaderCost(data []byte) int64 {
	return int64(len(data)) + fieldCost*int64(bytes.Count(data, []byte{'\n'}))
}

// TooManyError is returned for a list with more elements than it may have.
type TooManyError struct {
	Field string
	Most  int
}

func (e *TooManyError) Error() string {
	return fmt.Sprintf("%s: has more than %d elements", e.Field, e.Most)
}

// JSONCost returns what a JSON document takes once it is decoded to a value of the same type as example, beside its bytes. It
// reads the document token by token and keeps none of it. Limits holds the largest number of elements of lists by their fields,
// such as "steps.depends_on". The cost of a document that is not valid counts up to the place where the decoder will stop.
func JSONCost(document []byte, example any, limits map[string]int) (int64, error) {
	r := costReader{
		decoder: jsontext.NewDecoder(bytes.NewBuffer(document), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)),
		limits:  limits, fields: map[reflect.Type]map[string]reflect.Type{},
	}
	r.value(reflect.TypeOf(example), "")
	return r.cost, r.tooMany
}

type costReader struct {
	decoder *jsontext.Decoder
	limits  map[string]int
	fields  map[reflect.Type]map[string]reflect.Type // Fields of types that were met, by their names.
	cost    int64
	tooMany error
}

// value reads a value. A nil type is one that is not known, of which the decoder keeps nothing. It returns false if there is
// nothing more to read.
func (r *costReader) value(t reflect.Type, path string) bool {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
		r.cost += int64(t.Size())
	}
	token, err := r.decoder.ReadToken()
	if err != nil {
		return false
	}
	switch token.Kind() {
	case jsontext.KindBeginObject:
		return r.object(t, path)
	case jsontext.KindBeginArray:
		return r.list(t, path)
	}
	return true
}

func (r *costReader) object(t reflect.Type, path string) bool {
	known := r.fieldsOf(t)
	for r.decoder.PeekKind() != jsontext.KindEndObject {
		token, err := r.decoder.ReadToken()
		if err != nil {
			return false
		}
		name := token.String()
		inner, found := known[name]
		if !found {
			r.cost += nameCost + int64(len(name))
		} else if path != "" {
			name = path + "." + name
		}
		if !r.value(inner, name) {
			return false
		}
	}
	_, err := r.decoder.ReadToken()
	return err == nil
}

func (r *costReader) list(t reflect.Type, path string) bool {
	var inner reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		inner = t.Elem()
	}
	most, limited := r.limits[path]
	for n := 1; r.decoder.PeekKind() != jsontext.KindEndArray; n++ {
		if inner != nil {
			r.cost += growth*int64(inner.Size()) + elementCost
			if limited && n > most {
				r.tooMany = &TooManyError{path, most}
				return false
			}
		}
		if !r.value(inner, path) {
			return false
		}
	}
	_, err := r.decoder.ReadToken()
	return err == nil
}

// fieldsOf returns the types of the fields of a struct by their JSON names, nil for another type.
func (r *costReader) fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	out, met := r.fields[t]
	if met {
		return out
	}
	out = make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	r.fields[t] = out
	return out
}

// Costs of the items of a document in CBOR. The elements of a list may be structs with many fields, and an empty one takes a
// single byte of the document.
const (
	cborContainerCost = 640
	cborScalarCost    = 48
)

// Major types of CBOR.
const (
	cborBytes = 2
	cborText  = 3
	cborArray = 4
	cborMap   = 5
	cborTag   = 6
)

// cborIndefinite marks an item of indefinite length, or its end.
const cborIndefinite = 31

// CBORCost returns what a document in CBOR takes once it is decoded, beside its bytes. It counts what belongs to the first item:
// the decoder refuses a document with more.
func CBORCost(document []byte) int64 {
	cost, missing := int64(0), uint64(1) // Items that belong to those that were counted.
	for len(document) > 0 && missing > 0 {
		major, value, size := cborHead(document)
		if size == 0 {
			return cost // The decoder refuses the document.
		}
		missing--
		indefinite := document[0]&0x1f == cborIndefinite
		document = document[size:]
		switch major {
		case cborBytes, cborText:
			cost += cborScalarCost
			if value > uint64(len(document)) {
				return cost
			}
			document = document[value:]
		case cborArray, cborMap:
			cost += cborContainerCost
			items := min(value, uint64(len(document))) // Each takes a byte at least.
			if major == cborMap {
				items *= 2
			}
			missing += items
		case cborTag:
			missing++
		default:
			cost += cborScalarCost
		}
		if indefinite {
			missing = uint64(len(document)) // All that follows may belong to it.
		}
	}
	return cost
}

// cborHead reads the first bytes of an item: its major type and its value or length. The size is 0 if they are not complete.
func cborHead(data []byte) (major byte, value uint64, size int) {
	major, short := data[0]>>5, data[0]&0x1f
	switch {
	case short < 24:
		return major, uint64(short), 1
	case short < 28:
		size = 1 + 1<<(short-24)
		if len(data) < size {
			return major, 0, 0
		}
		for _, b := range data[1:size] {
			value = value<<8 | uint64(b)
		}
		return major, value, size
	case short == cborIndefinite:
		return major, 0, 1
	}
	return major, 0, 0
}
