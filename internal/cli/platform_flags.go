package cli

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/platform/dynamo"
	"github.com/beryltrestle/beryltrestle/internal/platform/s3"
)

// platformFlags are the flags for the addresses and credentials of the
// platform's services.
type platformFlags struct {
	TableEndpoint   string        `help:"URL of the table service." required:"" placeholder:"URL" env:"BERYLTRESTLE_TABLE_ENDPOINT"`
	TableName       string        `help:"Name of the table." default:"beryltrestle" env:"BERYLTRESTLE_TABLE_NAME"`
	ObjectEndpoint  string        `help:"URL of the object store." required:"" placeholder:"URL" env:"BERYLTRESTLE_OBJECT_ENDPOINT"`
	Bucket          string        `help:"Bucket of the object store." default:"beryltrestle" env:"BERYLTRESTLE_BUCKET"`
	Region          string        `help:"Region of the services." default:"local" env:"BERYLTRESTLE_REGION"`
	AccessKeyID     string        `name:"access-key-id" help:"Access key ID." required:"" env:"BERYLTRESTLE_ACCESS_KEY_ID"`
	SecretAccessKey string        `help:"Secret access key; set the environment variable rather than the flag." required:"" env:"BERYLTRESTLE_SECRET_ACCESS_KEY"`
	RequestTimeout  time.Duration `help:"Time limit of each request." default:"2s" env:"BERYLTRESTLE_REQUEST_TIMEOUT"`
}

// store returns a client of the manifest store.
func (f platformFlags) store() *manifeststore.Store {
	table := dynamo.New(dynamo.Config{
		Endpoint:        f.TableEndpoint,
		Region:          f.Region,
		Table:           f.TableName,
		AccessKeyID:     f.AccessKeyID,
		SecretAccessKey: f.SecretAccessKey,
		Timeout:         f.RequestTimeout,
	})
	objects := s3.New(s3.Config{
		Endpoint:        f.ObjectEndpoint,
		Region:          f.Region,
		Bucket:          f.Bucket,
		AccessKeyID:     f.AccessKeyID,
		SecretAccessKey: f.SecretAccessKey,
		Timeout:         f.RequestTimeout,
	})
	return manifeststore.New(table, objects)
}
