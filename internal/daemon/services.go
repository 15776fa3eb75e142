package daemon

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform/dynamo"
	"github.com/beryltrestle/beryltrestle/internal/platform/groupctl"
	"github.com/beryltrestle/beryltrestle/internal/platform/hostlist"
	"github.com/beryltrestle/beryltrestle/internal/platform/s3"
)

// OpenStores sets the clients of the platform's services according to the
// settings.
func (c *Config) OpenStores() error {
	p := c.Settings.Platform
	id, err := p.AccessKeyID.Value()
	if err != nil {
		return err
	}
	secret, err := p.SecretAccessKey.Value()
	if err != nil {
		return err
	}
	timeout := time.Duration(p.RequestTimeout)
	c.Table = dynamo.New(dynamo.Config{
		Endpoint:        p.TableEndpoint,
		Region:          p.Region,
		Table:           p.TableName,
		AccessKeyID:     id,
		SecretAccessKey: secret,
		Timeout:         timeout,
	})
	c.Objects = s3.New(s3.Config{
		Endpoint:        p.ObjectEndpoint,
		Region:          p.Region,
		Bucket:          p.Bucket,
		AccessKeyID:     id,
		SecretAccessKey: secret,
		Timeout:         timeout,
	})
	if p.HostListEndpoint != "" {
		c.HostList = hostlist.New(p.HostListEndpoint, timeout)
	}
	c.GroupControl = groupctl.New()
	return nil
}
