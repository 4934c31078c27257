// Package command holds the subcommands of the binary medlaryard, one file
// each. Results go to standard output and everything else to standard error;
// the exit codes are those of Code.
package command
