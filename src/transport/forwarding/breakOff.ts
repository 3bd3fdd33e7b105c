import type { ServerResponse } from "node:http";

/**
 * Ends an answer so that its caller can't take it for complete. Without chunks, as for callers of HTTP/1.0, the end of
 * the connection would be the end of the answer; a reset is not.
 */
export const breakOff = (response: ServerResponse): void => {
  if (!response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
};
