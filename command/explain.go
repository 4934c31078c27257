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

// logLine holds the fields of a daemon's log line that describe a request.
type logLine struct {
	Daemon        string   `json:"daemon"`
	Time          string   `json:"time"`
	Request       string   `json:"request"`
	Message       string   `json:"message"`
	At            float64  `json:"at,omitempty"` // Milliseconds since the daemon received the request.
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

// maxLogLineBytes is the buffer limit for one line. It is above the length of any
// line that a daemon writes.
const maxLogLineBytes = 1 << 20

// errNoLines is returned if no log line has the request's identifier. Daemons
// log no line for a request that they answer in full and in time.
var errNoLines = eris.New("no log line mentions the request: it was answered in full and in time, or the daemon omitted its lines")

// Run prints the decisions and the outcome that the logs contain for a request.
func (c *explainCommand) Run(env *Env) error {
	var lines []logLine
	skipped := 0
	collect := func(name string, r io.Reader) error {
		found, unparsed, err := readLog(r, c.Request)
		lines, skipped = append(lines, found...), skipped+unparsed
		return eris.Wrapf(err, "read log lines from %s", name)
	}
	if len(c.Logs) == 0 {
		if err := collect("standard input", env.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log file")
		}
		err = collect(name, f)
		_ = f.Close() // The file was only read, so a close error loses no data.
		if err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Fprintf(env.Stderr, "medlaryard: %d lines are not log lines and were skipped\n", skipped)
	}
	if len(lines) == 0 {
		return errNoLines
	}
	if c.Output == "json" {
		return json.NewEncoder(env.Stdout).Encode(lines)
	}
	return printTimeline(env.Stdout, lines)
}

// readLog returns the log lines about a request and the number of lines that are
// not valid JSON. It skips text before the first brace, such as the time and name
// that a log collector adds.
func readLog(r io.Reader, request string) (lines []logLine, unparsed int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLogLineBytes/16), maxLogLineBytes)
	for s.Scan() {
		text := s.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		var l logLine
		start := strings.IndexByte(text, '{')
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil {
			unparsed++
			continue
		}
		if l.Request == request {
			lines = append(lines, l)
		}
	}
	return lines, unparsed, s.Err()
}

// printTimeline prints one table row for each decision, in the order of lines, and
// two rows for each outcome: the outcome itself and its context.
func printTimeline(out io.Writer, lines []logLine) error {
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
