package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// standinDatabaseCommand runs a stand-in of one database server until it is
// stopped.
type standinDatabaseCommand struct {
	Listen       string        `help:"Address to listen on, IP:port." default:"127.0.0.1:0"`
	AdminListen  string        `help:"Address of the HTTP interface for fault injection, IP:port; disabled if empty."`
	DataDir      string        `help:"Directory for the term, log and tables." required:"" type:"existingdir"`
	Follow       string        `help:"Address of the primary to follow at the first start; if empty, the server starts as a primary." placeholder:"ADDRESS"`
	Slots        int           `help:"Number of statements that may run at once." default:"3"`
	Connections  int           `help:"Largest number of client connections." default:"50"`
	ConnectDelay time.Duration `help:"Time that the server takes to accept a new connection." default:"10ms"`
}

// databaseEndpoint holds the addresses of the stand-in.
type databaseEndpoint struct {
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address,omitempty"`
}

// Run serves until SIGTERM or SIGINT.
func (c *standinDatabaseCommand) Run(e *environment) error {
	server, err := database.Start(database.Config{
		Listen:       c.Listen,
		AdminListen:  c.AdminListen,
		DataDir:      c.DataDir,
		Follow:       c.Follow,
		Slots:        c.Slots,
		Connections:  c.Connections,
		ConnectDelay: c.ConnectDelay,
	})
	if err != nil {
		return err
	}
	served := databaseEndpoint{Address: server.Address(), AdminAddress: server.AdminAddress()}
	err = e.out.writeResult(served, func(w io.Writer) {
		fmt.Fprintf(w, "database at %s, fault injection at %q\n", served.Address, served.AdminAddress)
	})
	if err == nil {
		<-e.ctx.Done()
	}
	if closeErr := server.Close(); err == nil {
		err = closeErr
	}
	return err
}
