package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

type previewCommand struct {
	URI       string        `arg:"" name:"uri" help:"Path and query string of the request."`
	Operator  string        `required:"" placeholder:"IP:PORT" env:"MEDLARYARD_OPERATOR" help:"Operators' address of a daemon that runs as node."`
	Host      string        `required:"" help:"Host that the request is addressed to."`
	BodyBytes int           `help:"Size of its body."`
	Deadline  time.Duration `default:"10s" help:"How long its caller waits."`
	Timeout   time.Duration `default:"5s" help:"Longest wait for the daemon."`
	Output    output        `enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// Help returns the detailed help text of preview.
func (*previewCommand) Help() string {
	return "Nothing is sent to a target. Other requests may take the place meanwhile. A route with several services that are not shards uses one of those shown."
}

// previewReply holds the fields of the daemon's answer that are printed. Times are in
// milliseconds.
type previewReply struct {
	Route      string  `json:"route"`
	Objective  float64 `json:"objective"`
	Median     float64 `json:"median"`
	Expected   float64 `json:"expected_cost"`
	Confidence float64 `json:"cost_confidence"`
	Placement  string  `json:"placement"`
	Services   []struct {
		Service string  `json:"service"`
		Waiting int     `json:"waiting"`
		Wait    float64 `json:"wait"`
		Targets []struct {
			Target     string  `json:"target"`
			Domain     string  `json:"zone"`
			Chosen     bool    `json:"chosen"`
			Reason     string  `json:"reason"`
			Calls      int     `json:"calls"`
			Remaining  float64 `json:"remaining"`
			Slowness   float64 `json:"slowness"`
			Failures   float64 `json:"failures"`
			Completion float64 `json:"completion"`
		} `json:"targets"`
	} `json:"services"`
}

// Run asks the daemon where the request would go now and prints the answer.
func (c *previewCommand) Run(env *Env) error {
	q := url.Values{
		"host": {c.Host}, "uri": {c.URI}, "body_bytes": {strconv.Itoa(c.BodyBytes)},
		"timeout_ms": {strconv.FormatInt(c.Deadline.Milliseconds(), 10)},
	}
	r, err := client{address: c.Operator, timeout: c.Timeout}.get(env.ctx, "/placement?"+q.Encode())
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return eris.Errorf("daemon at %s answers %d: %.200s", c.Operator, r.status, r.body)
	}
	if c.Output == outputJSON {
		return printJSON(env.Stdout, r.body)
	}
	var reply previewReply
	if err := json.Unmarshal(r.body, &reply); err != nil {
		return eris.Wrapf(err, "answer of the daemon at %s", c.Operator)
	}
	return printPreview(env.Stdout, reply)
}

func printPreview(out io.Writer, p previewReply) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "route %s, objective %.0f ms, median latency of a target %.1f ms, placement by %s", p.Route, p.Objective, p.Median, p.Placement)
	if p.Expected > 0 {
		fmt.Fprintf(w, ", expected cost %.1f ms (confidence %.2f)", p.Expected, p.Confidence)
	}
	fmt.Fprintln(w, "\nSERVICE\tTARGET\tZONE\tCALLS\tREMAINING\tSLOWNESS\tFAILURES\tCOMPLETION\tREASON")
	for _, s := range p.Services {
		if s.Waiting > 0 {
			fmt.Fprintf(w, "%s\t(%d calls wait, %.1f ms)\n", s.Service, s.Waiting, s.Wait)
		}
		for _, t := range s.Targets {
			mark := ""
			if t.Chosen {
				mark = "chosen: "
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f ms\t%.2f\t%.2f\t%.1f ms\t%s%s\n",
				s.Service, t.Target, t.Domain, t.Calls, t.Remaining, t.Slowness, t.Failures, t.Completion, mark, t.Reason)
		}
	}
	return w.Flush()
}
