package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Objects   objectsCommand   `cmd:"" help:"Serve the object store protocol."`
	VMs       vmsCommand       `cmd:"" name:"vms" help:"Serve the VM list protocol."`
	Searchers searchersCommand `cmd:"" help:"Serve the target protocol on many ports."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for the systems around medlaryard."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// serve listens on address, prints "<name> <address>" with the actual address and
// serves h until ctx is done.
func serve(ctx context.Context, name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Println(name, l.Addr())
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", name, err)
	}
	return nil
}
