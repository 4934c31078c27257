// Package command implements the command line of the medlaryard binary. Main
// parses the arguments and runs one subcommand: serve and node run a daemon,
// check and apply validate and publish a catalogue, status, addresses and query
// call running daemons over HTTP, and explain searches log files for one
// request. Results go to standard output; errors and warnings go to standard
// error. Code lists the exit codes. The daemon's log goes to standard error
// with serve and to standard output with node.
package command
