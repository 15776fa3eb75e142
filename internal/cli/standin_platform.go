package cli

import (
	"fmt"
	"io"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	standin "github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

// standinPlatformCommand runs a stand-in of the platform until it is stopped.
type standinPlatformCommand struct {
	Listen string `help:"Address to listen on, IP:port." default:"127.0.0.1:0"`
	Hosts  string `help:"Manifest file whose hosts make up the initial host list." placeholder:"FILE"`
}

// platformEndpoints holds the URLs of the stand-in's services.
type platformEndpoints struct {
	TableEndpoint    string `json:"table_endpoint"`
	ObjectEndpoint   string `json:"object_endpoint"`
	HostListEndpoint string `json:"host_list_endpoint"`
	FaultsEndpoint   string `json:"faults_endpoint"`
}

// Run serves until SIGTERM or SIGINT.
func (c *standinPlatformCommand) Run(e *environment) error {
	hosts, err := c.hosts(e)
	if err != nil {
		return err
	}
	server, err := standin.Start(standin.Config{Address: c.Listen, Hosts: hosts})
	if err != nil {
		return err
	}
	served := platformEndpoints{
		TableEndpoint:    server.URL(),
		ObjectEndpoint:   server.URL(),
		HostListEndpoint: server.HostListURL(),
		FaultsEndpoint:   server.FaultsURL(),
	}
	err = e.out.writeResult(served, func(w io.Writer) {
		fmt.Fprintf(w, "table and objects at %s, host list at %s, fault injection at %s\n", served.TableEndpoint, served.HostListEndpoint, served.FaultsEndpoint)
	})
	if err == nil {
		<-e.ctx.Done()
	}
	_ = server.Close()
	return err
}

// hosts returns the hosts of the manifest file, all in the state live.
func (c *standinPlatformCommand) hosts(e *environment) ([]platform.Host, error) {
	if c.Hosts == "" {
		return nil, nil
	}
	doc, err := manifestFile{File: c.Hosts}.load(e)
	if err != nil {
		return nil, err
	}
	hosts := make([]platform.Host, len(doc.Hosts))
	for i, h := range doc.Hosts {
		hosts[i] = newLiveHost(h)
	}
	return hosts, nil
}

func newLiveHost(h manifest.Host) platform.Host {
	return platform.Host{
		Name:             h.Name,
		Address:          h.Address,
		AvailabilityZone: h.AvailabilityZone,
		Capacity:         h.Capacity,
		State:            platform.HostLive,
	}
}
