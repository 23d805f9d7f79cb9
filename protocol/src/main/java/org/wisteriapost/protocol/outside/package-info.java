/**
 * An interface for each external system. Adapters register as
 * {@link org.wisteriapost.protocol.outside.OutsideProvider}.
 */
package org.wisteriapost.protocol.outside;
