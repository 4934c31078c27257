package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// output is the form of a result.
type output string

// The forms. JSON keeps fields that this binary does not know.
const (
	outputText output = "text"
	outputJSON output = "json"
)

// printJSON prints one reply on one line.
func printJSON(w io.Writer, body []byte) error {
	var line bytes.Buffer
	if err := json.Compact(&line, body); err != nil {
		return eris.Wrap(err, "the reply is not JSON")
	}
	_, err := fmt.Fprintln(w, line.String())
	return err
}

// printTree prints a reply of any form as indented lines, keys in the order of the reply.
func printTree(w io.Writer, body []byte) error {
	if !json.Valid(body) {
		return eris.New("the reply is not JSON")
	}
	text, err := yaml.JSONToYAML(body)
	if err != nil {
		return eris.Wrap(err, "show the reply")
	}
	_, err = w.Write(text)
	return err
}
