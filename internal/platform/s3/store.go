package s3

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	awss3 "github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// maxObjectBytes is the largest size of an object that is read.
const maxObjectBytes = 64 << 20

// maxConnections is the largest number of open connections to the service.
const maxConnections = 16

// Store is a bucket of an S3 service.
type Store struct {
	client *awss3.Client
	cfg    Config
}

var _ platform.ObjectStore = (*Store)(nil)

// New returns an object store without sending a request.
func New(cfg Config) *Store {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxConnsPerHost = maxConnections
	transport.MaxIdleConnsPerHost = maxConnections
	client := awss3.New(awss3.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKeyID, cfg.SecretAccessKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: transport},
		UsePathStyle: true,
		// Objects are verified by their key, the content hash, and not every service
		// supports the checksum headers.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{client: client, cfg: cfg}
}

// Put implements platform.ObjectStore.
func (s *Store) Put(ctx context.Context, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	_, err := s.client.PutObject(ctx, &awss3.PutObjectInput{
		Bucket: aws.String(s.cfg.Bucket),
		Key:    aws.String(key),
		Body:   bytes.NewReader(body),
	})
	return errors.Wrap(err, "write object")
}

// Get implements platform.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	out, err := s.client.GetObject(ctx, &awss3.GetObjectInput{
		Bucket: aws.String(s.cfg.Bucket),
		Key:    aws.String(key),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, platform.ErrNotFound
	}
	if err != nil {
		return nil, errors.Wrap(err, "read object")
	}
	defer func() { _ = out.Body.Close() }()
	return readLimited(out.Body)
}

// readLimited reads a body of at most maxObjectBytes.
func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxObjectBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read object")
	}
	if len(body) > maxObjectBytes {
		return nil, errors.Newf("object is larger than %d bytes", maxObjectBytes)
	}
	return body, nil
}
