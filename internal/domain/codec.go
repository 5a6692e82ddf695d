package domain

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// decoder decodes all that the encoder writes. With the defaults of the library, a text that is not valid UTF-8 or a list
// of more than 131,072 elements could be written to the log and then be read by no host.
var decoder = newDecoder(cbor.UTF8DecodeInvalid)

// strictDecoder also refuses texts that are not valid UTF-8.
var strictDecoder = newDecoder(cbor.UTF8RejectInvalid)

func newDecoder(texts cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: texts, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(eris.Wrap(err, "building a decoder"))
	}
	return mode
}

// Decode decodes a part of a command, as hosts pass it to each other.
func Decode(data []byte, into any) error { return decoder.Unmarshal(data, into) }

// DecodeCommand decodes a command that Encode has written. It returns an error also for one that Apply could not execute.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := decoder.Unmarshal(data, &c); err != nil {
		return nil, eris.Wrap(err, "decoding a command")
	}
	if err := c.checkExecutable(); err != nil {
		return nil, eris.Wrap(err, "checking a command")
	}
	return &c, nil
}

// CheckCommand returns an error if an encoded command must not enter the log: each host, also one that decodes strictly,
// must be able to decode and apply what is in it, whichever host or interface it comes from.
func CheckCommand(data []byte) error {
	var c Command
	if err := strictDecoder.Unmarshal(data, &c); err != nil {
		return eris.Wrap(err, "checking a command")
	}
	return eris.Wrap(errors.Join(c.checkExecutable(), c.checkLimits(), c.checkComplete()), "checking a command")
}
