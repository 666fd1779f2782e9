/** Program of a backend server whose streams have no length, so that tests can kill its process. */
import { SERVER_HEADERS } from './platformStreams';
import { VersionedServer } from './versionedServer';

const [, , id = ''] = process.argv;

const server = new VersionedServer({
  id,
  service: 's',
  software: 'v1',
  // The parent process knows whom to announce to.
  announce: async (announcement) => {
    process.send?.(announcement);
  },
  headers: SERVER_HEADERS,
  isCloseDelimited: true,
});

await server.open();
