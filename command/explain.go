package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of daemons; standard input without any."`
	Output  string   `enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// logLine is one line of a daemon's log, as far as it concerns a request.
type logLine struct {
	Daemon        string   `json:"daemon"`
	Time          string   `json:"time"`
	Request       string   `json:"request"`
	Message       string   `json:"message"`
	At            float64  `json:"at,omitempty"` // Milliseconds since the request arrived.
	Decision      string   `json:"decision,omitempty"`
	Shard         string   `json:"shard,omitempty"`
	Target        string   `json:"target,omitempty"`
	Cause         string   `json:"cause,omitempty"`
	Route         string   `json:"route,omitempty"`
	Configuration uint64   `json:"configuration,omitempty"`
	Outcome       string   `json:"outcome,omitempty"`
	Took          float64  `json:"took,omitempty"` // Milliseconds.
	Objective     float64  `json:"objective,omitempty"`
	Usual         float64  `json:"usual,omitempty"`
	Sends         int      `json:"sends,omitempty"`
	Missing       int      `json:"missing,omitempty"`
	Shards        []string `json:"shards,omitempty"`
	RetryAfter    float64  `json:"retry_after,omitempty"`
}

// maxLogLine is above the length of any line that a daemon writes.
const maxLogLine = 1 << 20

// errNoLines is the error for a request that no log mentions.
var errNoLines = eris.New("no line mentions the request; it was answered in full and in time, or its lines were left out")

// Run prints what the logs say of a request.
func (c *explainCommand) Run(env *Env) error {
	var lines []logLine
	unread := 0
	read := func(name string, r io.Reader) error {
		found, bad, err := readLog(r, c.Request)
		lines, unread = append(lines, found...), unread+bad
		return eris.Wrapf(err, "read %s", name)
	}
	if len(c.Logs) == 0 {
		if err := read("standard input", env.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		err = read(name, f)
		_ = f.Close() // It was only read.
		if err != nil {
			return err
		}
	}
	if unread > 0 {
		fmt.Fprintf(env.Stderr, "medlaryard: %d lines are not log lines and were skipped\n", unread)
	}
	if len(lines) == 0 {
		return errNoLines
	}
	if c.Output == "json" {
		return json.NewEncoder(env.Stdout).Encode(lines)
	}
	return printStory(env.Stdout, lines)
}

// readLog returns the lines about a request and how many lines cannot be read.
// Text before the first brace, such as the time and name that a collector adds,
// is skipped.
func readLog(r io.Reader, request string) (lines []logLine, unread int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLogLine/16), maxLogLine)
	for s.Scan() {
		text := s.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		var l logLine
		start := strings.IndexByte(text, '{')
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil {
			unread++
			continue
		}
		if l.Request == request {
			lines = append(lines, l)
		}
	}
	return lines, unread, s.Err()
}

// printStory prints decisions in their order and then the outcome.
func printStory(out io.Writer, lines []logLine) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tDECISION\tSHARD\tTARGET\tCAUSE\tDAEMON")
	for _, l := range lines {
		if l.Decision != "" {
			fmt.Fprintf(w, "%.1f ms\t%s\t%s\t%s\t%s\t%s\n", l.At, l.Decision, l.Shard, l.Target, l.Cause, l.Daemon)
			continue
		}
		cause := l.Cause
		if l.Missing > 0 {
			cause = fmt.Sprintf("%d shards missing: %s", l.Missing, strings.Join(l.Shards, ", "))
		}
		fmt.Fprintf(w, "%.1f ms\t%s\t\t\t%s\t%s\n", l.Took, l.Outcome, cause, l.Daemon)
		fmt.Fprintf(w, "\tcontext\t\t\troute %s, configuration %d, objective %.0f ms, usual latency of a target %.1f ms, %d sends\t\n",
			l.Route, l.Configuration, l.Objective, l.Usual, l.Sends)
	}
	return w.Flush()
}
