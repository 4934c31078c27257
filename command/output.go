package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// output selects the format of a result.
type output string

// The output formats. JSON includes the fields that this binary does not know.
const (
	outputText output = "text"
	outputJSON output = "json"
)

// printJSON prints the JSON body of a reply on one line.
func printJSON(w io.Writer, body []byte) error {
	var line bytes.Buffer
	if err := json.Compact(&line, body); err != nil {
		return eris.Wrap(err, "the daemon's reply is not valid JSON")
	}
	_, err := fmt.Fprintln(w, line.String())
	return err
}

// printTree prints any JSON reply as YAML. The keys keep the order of the reply.
func printTree(w io.Writer, body []byte) error {
	if !json.Valid(body) {
		return eris.New("the daemon's reply is not valid JSON")
	}
	text, err := yaml.JSONToYAML(body)
	if err != nil {
		return eris.Wrap(err, "convert the daemon's reply to YAML")
	}
	_, err = w.Write(text)
	return err
}
